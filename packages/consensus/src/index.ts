export {EntryKind} from './entry_kind.js';
export {type GroupStatus, type MemberStatus} from './group_status.js';
export {type LogEntry} from './log_entry.js';
export {type Member} from './member.js';
export {MemberRole} from './member_role.js';
export {memberSchema} from './member_schema.js';
export {
  type AppendReply,
  type AppendRequest,
  type SnapshotReply,
  type SnapshotRequest,
  type VoteReply,
  type VoteRequest,
} from './messages.js';
export {quorumOf} from './quorum_of.js';
export {RaftNode, type RaftNodeOptions} from './raft_node.js';
export {RaftRole} from './raft_role.js';
export {createRaftRouter, type RaftRouter} from './raft_router.js';
export {RaftStorage, type Ballot, type RecoveredState} from './raft_storage.js';
export {DEFAULT_TIMING, type RaftTiming} from './raft_timing.js';
export {RaftTransport} from './raft_transport.js';
export {RpcTransport} from './rpc_transport.js';
export {StateMachine} from './state_machine.js';
export {type Snapshot, type SnapshotMetadata} from './snapshot.js';

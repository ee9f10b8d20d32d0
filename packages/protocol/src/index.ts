export {type Announcement, type LoadReport} from './announcement.js';
export {announcementSchema} from './announcement_schema.js';
export {BackendKind} from './backend_kind.js';
export {BackendState} from './backend_state.js';
export {type ChainCorruption} from './chain_corruption.js';
export {checkReferences, type ReferenceIssue} from './check_references.js';
export {
  type ClassDeclaration,
  type Declarations,
  type RoutingRule,
  type ServiceDeclaration,
  type WorkspaceDeclaration,
} from './declarations.js';
export {declarationsSchema} from './declarations_schema.js';
export {type DeclaredVersion} from './declared_version.js';
export {emptiedDomainSchema} from './emptied_domain_schema.js';
export {type EntryPeer} from './entry_peer.js';
export {entryPeerSchema} from './entry_peer_schema.js';
export {estimateTokens} from './estimate_tokens.js';
export {type EvacuationView} from './evacuation_view.js';
export {evacuationViewSchema} from './evacuation_view_schema.js';
export {type Frame} from './frame.js';
export {FrameKind} from './frame_kind.js';
export {frameSchema} from './frame_schema.js';
export {type GenerateRequest} from './generate_request.js';
export {generateRequestSchema} from './generate_request_schema.js';
export {EMPTY_CHAIN_HASH, hashRecordEntry} from './hash_record_entry.js';
export {
  type RecordedCandidate,
  type RecordContent,
  type RecordEntry,
} from './record_entry.js';
export {recordEntrySchema} from './record_entry_schema.js';
export {MAX_EMPTIED_DOMAINS} from './max_emptied_domains.js';
export {type Presence} from './presence.js';
export {presenceSchema} from './presence_schema.js';
export {PresenceState} from './presence_state.js';
export {type PublishedDocument} from './published_document.js';
export {RecordKind} from './record_kind.js';
export {verifyChain} from './verify_chain.js';

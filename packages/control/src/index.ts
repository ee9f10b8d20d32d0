export {addGauge} from './add_gauge.js';
export {type GroupStatus, type Member} from '@vanillamux/consensus';
export {
  ReserveVerdict,
  type DeclareResult,
  type FenceResult,
  type ReserveResult,
  type SettleResult,
  type StoredResponse,
} from './command_results.js';
export {
  BackendRegistry,
  type BackendRegistryOptions,
  type RegistryUpdate,
} from './backend_registry.js';
export {
  BackendCensus,
  type BackendCensusOptions,
  type CensusFile,
} from './backend_census.js';
export {type BackendCounts, type Census} from './census.js';
export {CommandKind} from './command_kind.js';
export {CommandLevel} from './command_level.js';
export {
  type Command,
  type DeclareCommand,
  type EvacuateCommand,
  type ExpireCommand,
  type FenceCommand,
  type ReserveCommand,
  type SettleCommand,
} from './commands.js';
export {ControlClient, type ControlCall} from './control_client.js';
export {type DeclarationUpdate} from './declaration_feed.js';
export {createControlRouter, type ControlRouter} from './control_router.js';
export {ControlRecordSink} from './control_record_sink.js';
export {ControlServer} from './control_server.js';
export {type ControlSettings} from './control_settings.js';
export {controlSettingsSchema} from './control_settings_schema.js';
export {ControlState} from './control_state.js';
export {type ControlEndpoint} from './control_endpoint.js';
export {EntryHostFeed} from './entry_host_feed.js';
export {type Caller} from './caller.js';
export {CallerMonitor} from './caller_monitor.js';
export {EvacuationAction} from './evacuation_action.js';
export {type EvacuationAnswer} from './evacuation_answer.js';
export {type EvacuationOrder} from './evacuation_order.js';
export {EvacuationState} from './evacuation_state.js';
export {EvacuationVerdict} from './evacuation_verdict.js';
export {Evacuator} from './evacuator.js';
export {type FeedContent} from './feed_content.js';
export {type FeedUpdate} from './feed_update.js';
export {type FeedRequest} from './feed_request.js';
export {type PackedDocument} from './packed_document.js';
export {type PublishAnswer} from './publish_answer.js';
export {PublishedState} from './published_state.js';
export {planEvacuation} from './plan_evacuation.js';
export {PublishVerdict} from './publish_verdict.js';
export {Publisher} from './publisher.js';
export {ReportReceiver} from './report_receiver.js';
export {ReportVerdict} from './report_verdict.js';
export {recordQuerySchema} from './record_query_schema.js';
export {RecordSink} from './record_sink.js';
export {Recorder, type RecorderOptions} from './recorder.js';
export {RecordStore} from './record_store.js';
export {type Reservation} from './reservation.js';
export {ReservationState} from './reservation_state.js';
export {SettleOutcome} from './settle_outcome.js';
export {storedResponseSchema} from './stored_response_schema.js';
export {ReservationRegistry} from './reservation_registry.js';

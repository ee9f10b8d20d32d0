export {acceptArrived} from './accept_arrived.js';
export {type Address} from './address.js';
export {addressSchema} from './address_schema.js';
export {destinationSchema} from './destination_schema.js';
export {RingBuffer} from './ring_buffer.js';
export {checkProtocol} from './check_protocol.js';
export {ClientServer, type ClientServerOptions} from './client_server.js';
export {confirmEnd} from './confirm_end.js';
export {configureLogging, type LoggingOptions} from './configure_logging.js';
export {Deferred} from './deferred.js';
export {ErrorCodes} from './error_codes.js';
export {ERROR_DESCRIPTORS, type ErrorDescriptor} from './error_descriptors.js';
export {escapeHtml} from './escape_html.js';
export {EventBus} from './event_bus.js';
export {EventKind} from './event_kind.js';
export {fail} from './fail.js';
export {findFieldLine} from './find_field_line.js';
export {findHeadFault} from './find_head_fault.js';
export {formatAddress} from './format_address.js';
export {flushOutput} from './flush_output.js';
export {getLogger} from './get_logger.js';
export {hasBody} from './has_body.js';
export {HybridClock} from './hybrid_clock.js';
export {invariant} from './invariant.js';
export {listen} from './listen.js';
export {loadSettings} from './load_settings.js';
export {LogFormat} from './log_format.js';
export {LogLevel} from './log_level.js';
export {type Logger} from './logger.js';
export {monotonicMs} from './monotonic_ms.js';
export {onReset} from './on_reset.js';
export {parseAddress} from './parse_address.js';
export {parseYaml} from './parse_yaml.js';
export {pollIo} from './poll_io.js';
export {readBody} from './read_body.js';
export {type Result} from './result.js';
export {runBinary, type BinaryOptions, type Stoppable} from './run_binary.js';
export {RunState} from './run_state.js';
export {SettingsError, type SettingsIssue} from './settings_error.js';
export {
  SettingsWatcher,
  type SettingsWatcherOptions,
} from './settings_watcher.js';
export {SharedTask} from './shared_task.js';
export {sleep} from './sleep.js';
export {StallMonitor, type StallMonitorOptions} from './stall_monitor.js';
export {succeed} from './succeed.js';
export {Timeline, type TimelineOptions} from './timeline.js';
export {type TimelineEvent} from './timeline_event.js';
export {UnansweredReason} from './unanswered_reason.js';
export {type UnansweredRequest} from './unanswered_request.js';
export {VERSION} from './version.js';
export {
  VmuxError,
  type VmuxErrorBody,
  type VmuxErrorOptions,
} from './vmux_error.js';
export {waitForSignal} from './wait_for_signal.js';
export {Wakeup} from './wakeup.js';

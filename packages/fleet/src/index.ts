export {ApiClient, type CallOutcome, type ChatRequest} from './api_client.js';
export {Fleet, type FleetHost} from './fleet.js';
export {type FleetOptions} from './fleet_options.js';
export {ManagedProcess} from './managed_process.js';
export {findFreePorts} from './find_free_ports.js';
export {waitUntilServing} from './wait_until_serving.js';
export {TcpRelay} from './tcp_relay.js';

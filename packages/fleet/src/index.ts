export {Caller, type CallOutcome, type ChatCall} from './caller.js';
export {Fleet, type FleetHost} from './fleet.js';
export {type FleetPlan} from './fleet_plan.js';
export {ManagedProcess} from './managed_process.js';
export {pickPorts} from './pick_ports.js';
export {waitUntilServing} from './wait_until_serving.js';
export {TcpRelay} from './tcp_relay.js';

export {ExitCode} from './exit_code.js';
export {loadDeclarations} from './load_declarations.js';
export {OperatorSession} from './operator_session.js';
export {type OperatorSettings} from './operator_settings.js';
export {OrderSender, type LoadOrder} from './order_sender.js';

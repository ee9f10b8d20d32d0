export {packJson} from './pack_json.js';
export {type Packed} from './packed.js';
export {rpcBuilder} from './rpc_builder.js';
export {RpcClient, type RpcClientOptions} from './rpc_client.js';
export {RPC_PATH, serveRpc} from './serve_rpc.js';
export {unwrap} from './unwrap.js';
export {unpackJson} from './unpack_json.js';

// The part of undici that the gateway uses; its face loads all of the rest.
export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
export {default as buildConnector} from '../node_modules/undici/lib/core/connect.js';

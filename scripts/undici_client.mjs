// Exports the part of undici that the gateway uses; the index module of undici
// would load the whole library.
export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';

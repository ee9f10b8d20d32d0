import {buildConnector} from 'undici';
import type {Connector} from './connector.js';

/**
 * Timeout for connecting to a backend server. It is far above a round trip
 * within a region, and low enough for another attempt within the shortest
 * goal. TCP retransmits a lost packet only after a second, which is too late.
 */
const CONNECT_TIMEOUT_MS = 120;

/** Opens sockets with a short timeout. */
export const defaultConnector: Connector = buildConnector({
  timeout: CONNECT_TIMEOUT_MS,
});

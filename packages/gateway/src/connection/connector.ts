import type {buildConnector} from 'undici';

/** Opens the socket of a connection. */
export type Connector = buildConnector.connector;

/** Failure domains emptied at a time; their names fit into one datagram. */
export const MAX_EMPTIED_DOMAINS = 32;

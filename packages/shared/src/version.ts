/** Version that every binary reports. */
export const VERSION = '0.1.0';

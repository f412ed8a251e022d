/** Format version that this code writes; newer versions are rejected. */
export const FORMAT_VERSION = 1;

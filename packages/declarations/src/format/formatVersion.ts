/** Version of the published format that this code writes; it reads no newer one. */
export const FORMAT_VERSION = 1;

/** Content type of unary messages in the binary form of the Connect protocol. */
export const UNARY_CONTENT_TYPE = 'application/proto';

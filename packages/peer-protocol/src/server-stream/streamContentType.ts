/** Content type of streams in the binary form of the Connect protocol. */
export const STREAM_CONTENT_TYPE = 'application/connect+proto';

const HEADER_BYTES = 5;

/** Flag of the envelope that ends a stream, whose content is JSON. */
export const END_FLAG = 0b10;

/** Encodes one message of a stream: its flags, its length and its bytes. */
export const encodeEnvelope = (flags: number, content: Uint8Array): Buffer => {
  const envelope = Buffer.allocUnsafe(HEADER_BYTES + content.length);
  envelope.writeUInt8(flags, 0);
  envelope.writeUInt32BE(content.length, 1);
  envelope.set(content, HEADER_BYTES);
  return envelope;
};

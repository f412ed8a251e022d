const DATA_LINE = /^data(?::[ ]?(.*))?$/;
const LINE_FEED = '\n';

/**
 * Returns the data of an event: the values of its `data` fields, joined by line feeds. Returns
 * undefined if it has none. Works on bytes of any encoding.
 */
export const readEventData = (event: Buffer): Buffer | undefined => {
  const values = event
    .toString('latin1')
    .split(/\r?\n/)
    .flatMap((line) => {
      const match = DATA_LINE.exec(line);
      return match ? [match[1] ?? ''] : [];
    });
  return values.length === 0 ? undefined : Buffer.from(values.join(LINE_FEED), 'latin1');
};

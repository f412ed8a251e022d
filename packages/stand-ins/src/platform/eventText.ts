/**
 * Returns the events `first` to `last` of a stream as the response body carries them. Each names the
 * version of the target, so that a stream joined from two versions shows it.
 */
export const eventText = (
  requestId: string,
  version: string,
  first: number,
  last: number,
): string =>
  Array.from({ length: last - first + 1 }, (_, index) => {
    const id = first + index;
    return `id: ${id}\ndata: ${requestId} ${version} event ${id}\n\n`;
  }).join('');

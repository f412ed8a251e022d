/** Returns the events `first` to `last` of a stream as the response body carries them. */
export const eventText = (requestId: string, first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => {
    const id = first + index;
    return `id: ${id}\ndata: ${requestId} event ${id}\n\n`;
  }).join('');

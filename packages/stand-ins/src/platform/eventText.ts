/** Returns the events of a stream from one to another, as they stand in the body. */
export const eventText = (requestId: string, first: number, last: number): string =>
  Array.from({ length: last - first + 1 }, (_, index) => {
    const id = first + index;
    return `id: ${id}\ndata: ${requestId} event ${id}\n\n`;
  }).join('');

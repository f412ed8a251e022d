/** Waits for a time in milliseconds; returns at once where it is 0. */
export const waitMilliseconds = async (milliseconds: number): Promise<void> => {
  if (milliseconds <= 0) return;
  await new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
};

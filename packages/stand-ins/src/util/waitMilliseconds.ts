/** Waits for a time in milliseconds; returns immediately if it is 0 or less. */
export const waitMilliseconds = async (milliseconds: number): Promise<void> => {
  if (milliseconds <= 0) return;
  await new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
};

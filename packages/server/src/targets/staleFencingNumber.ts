/** Thrown where an engine refuses an order because it has seen a higher fencing number. */
export class StaleFencingNumber extends Error {}

/**
 * Time for which expired turns are still copied to other instances and kept on the disk. A call that
 * read its chain just before the expiry stores a turn that continues the chain only when it ends.
 */
export const EXPIRY_MARGIN_MILLISECONDS = 60_000;

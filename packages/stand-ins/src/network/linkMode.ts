/** How a link treats connections. */
export type LinkMode =
  | 'open'
  /** Packets are dropped: open connections go silent, and new ones are never established. */
  | 'drop'
  /** Open connections work on, and new ones are refused. */
  | 'refuse'
  /** Open connections are reset, and new ones are refused. */
  | 'reset';

/** What one size of a configuration costs; times in milliseconds, sizes in bytes. */
export interface ConfigurationFigures {
  readonly organisations: number;
  readonly keys: number;
  readonly checkMilliseconds: number;
  readonly encodeMilliseconds: number;
  readonly storedValues: number;
  readonly storedBytes: number;
  readonly largestValueBytes: number;
  readonly firstPublishMilliseconds: number;
  /** Time until a starting instance has the whole set. */
  readonly firstLoadMilliseconds: number;
  /** Growth of the heap by one follower with the whole set. */
  readonly followerHeapBytes: number;
  /** Publishing a withdrawal of one key. */
  readonly changePublishMilliseconds: number;
  readonly changedValues: number;
  /** From the end of the publish until the set is in force, by the watch. */
  readonly forceMilliseconds: number;
  /** The same, while the open watches are silent. */
  readonly silentForceMilliseconds: number;
  /** Longest stall of the event loop while a change was put in force. */
  readonly stallMilliseconds: number;
}

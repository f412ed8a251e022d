/** Cost of a configuration of one size; times in milliseconds, sizes in bytes. */
export interface ConfigurationFigures {
  readonly organisations: number;
  readonly keys: number;
  readonly checkMilliseconds: number;
  readonly encodeMilliseconds: number;
  readonly storedValues: number;
  readonly storedBytes: number;
  readonly largestValueBytes: number;
  readonly firstPublishMilliseconds: number;
  /** Time until a starting instance has loaded the complete configuration. */
  readonly firstLoadMilliseconds: number;
  /** Growth of the heap for one follower with the complete configuration. */
  readonly followerHeapBytes: number;
  /** Time to publish the withdrawal of one key. */
  readonly changePublishMilliseconds: number;
  readonly changedValues: number;
  /** From the end of the publish until the watch has put the configuration in force. */
  readonly forceMilliseconds: number;
  /** The same, while the open watches deliver no events. */
  readonly silentForceMilliseconds: number;
  /** Longest stall of the event loop while a change is put in force. */
  readonly stallMilliseconds: number;
}

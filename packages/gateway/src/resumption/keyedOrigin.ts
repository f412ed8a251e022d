import type { StreamOrigin } from './streamOrigin';

/** The origin of the stream that an attempt of a caller began. */
export interface KeyedOrigin {
  /** Identifies the attempt and its organisation. */
  readonly streamKey: string;
  readonly origin: StreamOrigin;
}

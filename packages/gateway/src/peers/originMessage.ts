import type { StreamOrigin as OriginMessage } from '@limpetnotch/peer-protocol';
import type { KeyedOrigin } from '../resumption/keyedOrigin';

/** Message fields of an origin. */
export interface OriginFields {
  readonly streamKey: string;
  readonly service: string;
  readonly version?: string;
}

/** Returns the message for the origin of a stream. */
export const toOriginMessage = ({
  streamKey,
  origin: { service, version },
}: KeyedOrigin): OriginFields => ({
  streamKey,
  service,
  ...(version !== undefined && { version }),
});

/** Returns the origin that another instance has recorded. */
export const fromOriginMessage = ({ streamKey, service, version }: OriginMessage): KeyedOrigin => ({
  streamKey,
  origin: { service, version },
});

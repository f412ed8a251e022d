import type { IncomingMessage } from 'node:http';
import type { CallEnvelope } from './callEnvelope';

/** Metadata that an instance sends to a target in addition to the caller's headers. */
export interface DispatchMetadata {
  /** Intended target; any other target at that address declines the request. */
  readonly targetId: string;
  /** Time until the deadline of the response, in milliseconds. */
  readonly remainingMilliseconds: number | undefined;
  readonly organisation: string | undefined;
  /** Event after which a stream resumes; replaces the one that the caller sent. */
  readonly lastEventId: string | undefined;
  /** Priority at the target, from 0 (first) to 9. */
  readonly priority: number | undefined;
}

/** Load of a target, as reported in its response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work on the machine now; 100 is usual. Undefined if the target states none. */
  readonly durationPercent: number | undefined;
}

/** What a response says about the load of its target; only a valid report changes anything. */
export type LoadReport =
  | ({ readonly kind: 'reported' } & ReportedLoad)
  | { readonly kind: 'missing' }
  | { readonly kind: 'malformed'; readonly text: string }
  /** A figure that no target can have. */
  | { readonly kind: 'excessive'; readonly text: string };

/** Limit on the requests from all instances together that a target names in a response. */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'limited'; readonly requestsPerSecond: number }
  | { readonly kind: 'malformed'; readonly text: string };

/** Head of a target's response, decoded from its headers. */
export interface ResponseHead {
  readonly status: number;
  /** Identifier of the request that the response belongs to; undefined if the target sends none. */
  readonly requestId: string | undefined;
  /** Whether the response has the signature of the target. */
  readonly isSigned: boolean;
  /** Whether the target states that it has not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether another target now uses the address. */
  readonly isMisdirected: boolean;
  /** Whether the target announces that it is leaving and must not get new requests. */
  readonly isLeaving: boolean;
  readonly hasContentEncoding: boolean;
  readonly load: LoadReport;
  /** The limit holds for as long as the target's responses name it. */
  readonly namedLimit: NamedLimit;
  /** Headers that are passed to the caller unchanged, as alternating names and values. */
  readonly passedHeaders: readonly string[];
}

/** Why a request could not be decoded. */
export interface EnvelopeError {
  readonly kind: 'malformed-request';
  readonly detail: string;
}

/** What a request to a target takes from the request of its caller. */
export type DispatchedEnvelope = Pick<CallEnvelope, 'id' | 'passedHeaders' | 'lastEventId'>;

/** Converts between the headers on the wire and the types of the gateway. */
export interface WireCodec {
  decodeRequest(request: IncomingMessage): CallEnvelope | EnvelopeError;
  /** Returns alternating header names and values. */
  encodeDispatch(envelope: DispatchedEnvelope, metadata: DispatchMetadata): string[];
  /** Returns the identifier of the request that a response belongs to; undefined if it has none. */
  decodeResponseId(rawHeaders: readonly string[]): string | undefined;
  decodeResponse(status: number, rawHeaders: readonly string[]): ResponseHead;
  /** Returns alternating header names and values for a response of the gateway itself. */
  encodeGatewayResponse(envelope: CallEnvelope | undefined, retryAfterSeconds?: number): string[];
}

import type { IncomingMessage } from 'node:http';
import type { CallEnvelope } from './callEnvelope';

/** What an instance tells a target beside the caller's own headers. */
export interface DispatchNote {
  /** Target that is meant; any other one at that address declines. */
  readonly targetId: string;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMilliseconds: number | undefined;
  readonly organisation: string | undefined;
  /** Event after which a stream goes on, in place of the caller's. */
  readonly lastEventId: string | undefined;
  /** Rank at the target, from 0 (first) to 9. */
  readonly priority: number | undefined;
}

/** Work at a target, as its answer reports it. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of a target's answer, decoded from its headers. */
export interface AnswerHead {
  readonly status: number;
  /** Identifier of the request that is answered; undefined where the target names none. */
  readonly requestId: string | undefined;
  /** Whether the answer bears the signature of the target. */
  readonly isSigned: boolean;
  /** Whether the target states that it has not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether another target has the address now. */
  readonly isMisdirected: boolean;
  /** Whether the target says that it leaves, and is to get nothing new. */
  readonly isLeaving: boolean;
  readonly hasContentEncoding: boolean;
  readonly load: ReportedLoad | undefined;
  /** Names and values by turns, of the headers that pass through to the caller unchanged. */
  readonly passedHeaders: readonly string[];
}

/** Why a request could not be decoded. */
export interface EnvelopeError {
  readonly kind: 'malformed-request';
  readonly detail: string;
}

/** Translates between the headers on the wire and the types of the gateway. */
export interface WireCodec {
  decodeRequest(request: IncomingMessage): CallEnvelope | EnvelopeError;
  /** Returns names and values by turns. */
  encodeDispatch(envelope: CallEnvelope, note: DispatchNote): string[];
  decodeAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Returns names and values by turns, for an answer of the gateway itself. */
  encodeOwnAnswer(envelope: CallEnvelope | undefined, retryAfterSeconds?: number): string[];
}

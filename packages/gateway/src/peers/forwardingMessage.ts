import type { MessageInitShape } from '@bufbuild/protobuf';
import {
  CheckTargetResponse_Result as CheckResult,
  ForwardedFailure_Kind as FailureKind,
} from '@limpetnotch/peer-protocol';
import type {
  ForwardExchangeRequest,
  ForwardExchangeRequestSchema,
  ForwardExchangeResponse,
  ForwardExchangeResponseSchema,
  TargetIncarnation,
  TargetIncarnationSchema,
} from '@limpetnotch/peer-protocol';
import type { ForwardedPart, ForwardingFailure } from '../forwarding/forwardedPart';
import type { ForwardedRequest, ForwardedTarget } from '../forwarding/forwardedRequest';
import type { ConnectionCheck } from '../targets/connectionCheck';

type TargetMessage = MessageInitShape<typeof TargetIncarnationSchema>;
type RequestMessage = MessageInitShape<typeof ForwardExchangeRequestSchema>;
type PartMessage = MessageInitShape<typeof ForwardExchangeResponseSchema>;

const FAILURE_KINDS: Readonly<Record<ForwardingFailure, FailureKind>> = {
  declined: FailureKind.DECLINED,
  'target-unavailable': FailureKind.TARGET_UNAVAILABLE,
  refused: FailureKind.REFUSED,
  'not-sent': FailureKind.NOT_SENT,
  broken: FailureKind.BROKEN,
};

const fromFailureKind = (kind: FailureKind): ForwardingFailure => {
  switch (kind) {
    case FailureKind.DECLINED:
      return 'declined';
    case FailureKind.TARGET_UNAVAILABLE:
      return 'target-unavailable';
    case FailureKind.REFUSED:
      return 'refused';
    case FailureKind.NOT_SENT:
      return 'not-sent';
    case FailureKind.BROKEN:
    case FailureKind.UNSPECIFIED:
      return 'broken';
  }
};

/** Returns the message that names a target to another instance. */
export const toTargetMessage = (target: ForwardedTarget): TargetMessage => ({
  id: target.id,
  service: target.service,
  ...(target.bornMilliseconds !== undefined && { bornMilliseconds: target.bornMilliseconds }),
  ...(target.version !== undefined && { version: target.version }),
});

/** Returns the target that another instance names. */
export const fromTargetMessage = (message: TargetIncarnation): ForwardedTarget => {
  const { id, service, bornMilliseconds, version } = message;
  return { id, service, bornMilliseconds, version };
};

/** Returns the message for the result of a check. */
export const toCheckResult = (check: ConnectionCheck): CheckResult => {
  switch (check) {
    case 'accepted':
      return CheckResult.ACCEPTED;
    case 'refused':
      return CheckResult.REFUSED;
    case 'unknown':
      return CheckResult.UNSPECIFIED;
  }
};

/** Returns the result of a check by another instance. */
export const fromCheckResult = (result: CheckResult): ConnectionCheck => {
  switch (result) {
    case CheckResult.ACCEPTED:
      return 'accepted';
    case CheckResult.REFUSED:
      return 'refused';
    case CheckResult.UNSPECIFIED:
      return 'unknown';
  }
};

/** Returns the message for a request that another instance shall send. */
export const toForwardedRequestMessage = (request: ForwardedRequest): RequestMessage => {
  const { target, envelope, body, remainingMilliseconds, isRepeat } = request;
  const { organisation, priority } = request;
  return {
    target: toTargetMessage(target),
    requestId: envelope.id,
    method: envelope.method,
    pathAndQuery: envelope.pathAndQuery,
    headers: [...envelope.passedHeaders],
    body: new Uint8Array(body),
    remainingMilliseconds: Math.max(0, Math.round(remainingMilliseconds)),
    isRepeat,
    ...(organisation !== undefined && { organisation }),
    ...(envelope.lastEventId !== undefined && { lastEventId: envelope.lastEventId }),
    ...(priority !== undefined && { priority: Math.round(priority) }),
  };
};

/** Returns the request that another instance wants sent; undefined if it names no target. */
export const fromForwardedRequestMessage = (
  message: ForwardExchangeRequest,
): ForwardedRequest | undefined => {
  const { target, requestId, method, pathAndQuery, headers, lastEventId } = message;
  const { body, remainingMilliseconds, organisation, priority, isRepeat } = message;
  if (!target) return undefined;
  return {
    target: fromTargetMessage(target),
    envelope: { id: requestId, method, pathAndQuery, passedHeaders: headers, lastEventId },
    body: Buffer.from(body.buffer, body.byteOffset, body.byteLength),
    remainingMilliseconds,
    organisation,
    priority,
    isRepeat,
  };
};

/** Returns the message for a part of a response. */
export const toPartMessage = (part: ForwardedPart): PartMessage => {
  switch (part.kind) {
    case 'head': {
      const { status, rawHeaders, framing } = part;
      const isUntilClose = framing === 'until-close';
      return { part: { case: 'head', value: { status, headers: [...rawHeaders], isUntilClose } } };
    }
    case 'data':
      return { part: { case: 'data', value: new Uint8Array(part.bytes) } };
    case 'end':
      return { part: { case: 'end', value: {} } };
    case 'progress':
      return { part: { case: 'progress', value: {} } };
    case 'failure': {
      const { failure, detail } = part;
      return { part: { case: 'failure', value: { kind: FAILURE_KINDS[failure], detail } } };
    }
  }
};

/** Returns the part of a response that another instance forwards. */
export const fromPartMessage = ({ part }: ForwardExchangeResponse): ForwardedPart => {
  switch (part.case) {
    case 'head': {
      const { status, headers, isUntilClose } = part.value;
      const framing = isUntilClose ? 'until-close' : 'delimited';
      return { kind: 'head', status, rawHeaders: headers, framing };
    }
    case 'data': {
      const { buffer, byteOffset, byteLength } = part.value;
      return { kind: 'data', bytes: Buffer.from(buffer, byteOffset, byteLength) };
    }
    case 'end':
      return { kind: 'end' };
    case 'failure': {
      const { kind, detail } = part.value;
      return { kind: 'failure', failure: fromFailureKind(kind), detail };
    }
    // A part that only later versions know.
    case 'progress':
    case undefined:
      return { kind: 'progress' };
  }
};

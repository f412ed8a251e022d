import { create } from '@bufbuild/protobuf';
import type { CallProblem, NotOwner, RunCallEvent } from '@limpetnotch/peer-protocol';
import {
  CallProblemSchema,
  Durability,
  Executed,
  RunCallEventSchema,
} from '@limpetnotch/peer-protocol';
import type { Answer, Executed as ExecutedText, JournalCommit } from '@limpetnotch/programs';
import type { Problem } from '../problems/problem';
import { isProblemId } from '../problems/problemId';

const EXECUTED_VALUES = {
  no: Executed.NO,
  yes: Executed.YES,
  unknown: Executed.UNKNOWN,
} as const satisfies Record<ExecutedText, Executed>;

const EXECUTED_TEXTS = {
  [Executed.UNSPECIFIED]: 'unknown',
  [Executed.NO]: 'no',
  [Executed.YES]: 'yes',
  [Executed.UNKNOWN]: 'unknown',
} as const satisfies Record<Executed, ExecutedText>;

/** Creates the peer protocol message of a problem. */
export const createProblemMessage = (problem: Problem): CallProblem =>
  create(CallProblemSchema, {
    problem: problem.problem,
    detail: problem.detail,
    executed: EXECUTED_VALUES[problem.executed],
    ...(problem.retryAfterMilliseconds === undefined
      ? {}
      : { retryAfterMilliseconds: Math.ceil(problem.retryAfterMilliseconds) }),
  });

/** Reads the message of a problem; an unknown identifier becomes `internal-error`. */
export const parseProblemMessage = (message: CallProblem): Problem => ({
  problem: isProblemId(message.problem) ? message.problem : 'internal-error',
  detail: message.detail,
  executed: EXECUTED_TEXTS[message.executed],
  retryAfterMilliseconds: message.retryAfterMilliseconds,
});

/** Creates the event that refuses or fails a call. */
export const createProblemEvent = (problem: Problem): RunCallEvent =>
  create(RunCallEventSchema, { event: { case: 'problem', value: createProblemMessage(problem) } });

/**
 * Creates the event on which the entry retries at another owner.
 *
 * @param epoch Epoch in which the instance owned the partition; 0 if it never did.
 * @param executed Whether this owner had a target run the call.
 */
export const createNotOwnerEvent = (epoch: number, executed: ExecutedText): RunCallEvent =>
  create(RunCallEventSchema, {
    event: { case: 'notOwner', value: { epoch, executed: EXECUTED_VALUES[executed] } },
  });

/** Reads whether the owner that sent this event had a target run the call. */
export const parseNotOwnerExecuted = ({ executed }: NotOwner): ExecutedText =>
  EXECUTED_TEXTS[executed];

/** Creates the event that ends a complete answer. */
export const createEndEvent = (durability: JournalCommit['durability']): RunCallEvent =>
  create(RunCallEventSchema, {
    event: {
      case: 'end',
      value: {
        durability: durability === 'durable' ? Durability.DURABLE : Durability.DEFERRED,
      },
    },
  });

/** Creates the events that replay a recorded answer. */
export const createReplayEvents = (answer: Answer, sequence: number): readonly RunCallEvent[] => [
  create(RunCallEventSchema, {
    event: {
      case: 'head',
      value: {
        status: answer.status,
        headers: [{ name: 'content-type', value: answer.contentType }],
        sequence,
        replayed: true,
      },
    },
  }),
  create(RunCallEventSchema, {
    event: { case: 'chunk', value: Buffer.from(answer.bodyBase64, 'base64') },
  }),
];

import { create } from '@bufbuild/protobuf';
import type { CallProblem, RunCallEvent } from '@limpetnotch/peer-protocol';
import {
  CallProblemSchema,
  Durability,
  Executed,
  RunCallEventSchema,
} from '@limpetnotch/peer-protocol';
import type { Answer, Executed as ExecutedText, JournalCommit } from '@limpetnotch/programs';
import type { Problem } from '../problems/problem';
import { isProblemId } from '../problems/problemId';

const EXECUTED = {
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

/** Builds the message of a problem. */
export const problemMessage = (problem: Problem): CallProblem =>
  create(CallProblemSchema, {
    problem: problem.problem,
    detail: problem.detail,
    executed: EXECUTED[problem.executed],
    ...(problem.retryAfterMilliseconds === undefined
      ? {}
      : { retryAfterMilliseconds: Math.ceil(problem.retryAfterMilliseconds) }),
  });

/** Reads the message of a problem; an unknown one counts as a failure of the instance. */
export const problemOfMessage = (message: CallProblem): Problem => ({
  problem: isProblemId(message.problem) ? message.problem : 'internal-error',
  detail: message.detail,
  executed: EXECUTED_TEXTS[message.executed],
  retryAfterMilliseconds: message.retryAfterMilliseconds,
});

/** Builds the event that refuses or fails a call. */
export const problemEvent = (problem: Problem): RunCallEvent =>
  create(RunCallEventSchema, { event: { case: 'problem', value: problemMessage(problem) } });

/** Builds the event that sends the entry to another owner. */
export const notOwnerEvent = (epoch: number): RunCallEvent =>
  create(RunCallEventSchema, { event: { case: 'notOwner', value: { epoch } } });

/** Builds the event that ends a whole answer. */
export const endEvent = (durability: JournalCommit['durability']): RunCallEvent =>
  create(RunCallEventSchema, {
    event: {
      case: 'end',
      value: {
        durability: durability === 'durable' ? Durability.DURABLE : Durability.DEFERRED,
      },
    },
  });

/** Builds the events of a recorded answer. */
export const replayEvents = (answer: Answer, sequence: number): readonly RunCallEvent[] => [
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

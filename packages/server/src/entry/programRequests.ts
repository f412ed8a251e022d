import { create } from '@bufbuild/protobuf';
import { partitionOf } from '@limpetnotch/partitions';
import type { CallProblem } from '@limpetnotch/peer-protocol';
import { EndProgramRequestSchema, ReadProgramRequestSchema } from '@limpetnotch/peer-protocol';
import type { ProgramIdentifier } from '@limpetnotch/programs';
import { delay } from '@limpetnotch/supervision';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { problemOfMessage } from '../owner/callEvents';
import type { Problem } from '../problems/problem';
import type { OwnerDirectory, OwnerRoute } from './ownerDirectory';

const OWNER_WAIT_MILLISECONDS = 8_000;
const RETRY_DELAY_MILLISECONDS = 100;

/** Answer of an owner to a request about a program. */
interface OwnerAnswer<Value> {
  readonly result:
    | { readonly case: 'problem'; readonly value: CallProblem }
    | { readonly case: 'notOwner' }
    | { readonly case: 'programJson' | 'ended'; readonly value: Value }
    | { readonly case: undefined };
}

/** Returns the partition of a program: that of its root. */
export const partitionOfProgram = ({ organisation, path }: ProgramIdentifier): number =>
  partitionOf(`${organisation}/${path.split('/', 1)[0] ?? path}`);

/** Asks the owners of programs to read or end them. */
export class ProgramRequests {
  readonly #directory: OwnerDirectory;

  constructor(directory: OwnerDirectory) {
    this.#directory = directory;
  }

  /** Returns a program with its history, as JSON text. */
  async read(program: ProgramIdentifier): Promise<Result<string, Problem>> {
    const partition = partitionOfProgram(program);
    const request = create(ReadProgramRequestSchema, {
      partition,
      organisation: program.organisation,
      program: program.path,
    });
    return this.#ask<string>(partition, async (owner) => owner.readProgram(request));
  }

  /** Ends a program and its sub-agents. */
  async end(program: ProgramIdentifier, byOperator: boolean): Promise<Result<boolean, Problem>> {
    const partition = partitionOfProgram(program);
    const request = create(EndProgramRequestSchema, {
      partition,
      organisation: program.organisation,
      program: program.path,
      byOperator,
    });
    return this.#ask<boolean>(partition, async (owner) => owner.endProgram(request));
  }

  async #ask<Value>(
    partition: number,
    ask: (owner: OwnerRoute) => Promise<OwnerAnswer<Value>>,
  ): Promise<Result<Value, Problem>> {
    const giveUpAt = performance.now() + OWNER_WAIT_MILLISECONDS;
    while (performance.now() < giveUpAt) {
      const answer = await this.#askOnce(partition, ask);
      if (answer) return answer;
      await delay(RETRY_DELAY_MILLISECONDS);
      await this.#directory.refresh(partition);
    }
    return err({
      problem: 'owner-unreachable',
      executed: 'no',
      detail: "the program's owner gave no answer",
    });
  }

  async #askOnce<Value>(
    partition: number,
    ask: (owner: OwnerRoute) => Promise<OwnerAnswer<Value>>,
  ): Promise<Result<Value, Problem> | undefined> {
    const owner = this.#directory.ownerOf(partition);
    if (!owner) return undefined;
    // Reading and ending are idempotent: an owner that was lost is asked again.
    const answer = await ask(owner).catch(() => undefined);
    if (!answer) return undefined;
    switch (answer.result.case) {
      case 'problem':
        return err(problemOfMessage(answer.result.value));
      case 'programJson':
      case 'ended':
        return ok(answer.result.value);
      case 'notOwner':
      case undefined:
        return undefined;
      // no default
    }
  }
}

import { create } from '@bufbuild/protobuf';
import { partitionOf } from '@limpetnotch/partitions';
import type { CallProblem } from '@limpetnotch/peer-protocol';
import { EndProgramRequestSchema, ReadProgramRequestSchema } from '@limpetnotch/peer-protocol';
import type { ProgramIdentifier } from '@limpetnotch/programs';
import { delay } from '@limpetnotch/supervision';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseProblemMessage } from '../owner/callEvents';
import type { Problem } from '../problems/problem';
import type { OwnerDirectory, OwnerClient } from './ownerDirectory';

const OWNER_WAIT_MILLISECONDS = 8_000;
const RETRY_DELAY_MILLISECONDS = 100;

/** Response of an owner to a request about a program. */
interface OwnerResponse<Value> {
  readonly result:
    | { readonly case: 'problem'; readonly value: CallProblem }
    | { readonly case: 'notOwner' }
    | { readonly case: 'programJson' | 'ended'; readonly value: Value }
    | { readonly case: undefined };
}

/** Returns the partition of a program, which is that of its root program. */
export const getProgramPartition = ({ organisation, path }: ProgramIdentifier): number =>
  partitionOf(`${organisation}/${path.split('/', 1)[0] ?? path}`);

/** Sends requests to read or end programs to the owners of their partitions. */
export class ProgramRequests {
  readonly #directory: OwnerDirectory;

  constructor(directory: OwnerDirectory) {
    this.#directory = directory;
  }

  /** Returns a program with its history, as JSON text. */
  async read(program: ProgramIdentifier): Promise<Result<string, Problem>> {
    const partition = getProgramPartition(program);
    const request = create(ReadProgramRequestSchema, {
      partition,
      organisation: program.organisation,
      program: program.path,
    });
    return this.#queryOwner<string>(partition, async (owner) => owner.readProgram(request));
  }

  /** Ends a program and its sub-agents. */
  async end(program: ProgramIdentifier, byOperator: boolean): Promise<Result<boolean, Problem>> {
    const partition = getProgramPartition(program);
    const request = create(EndProgramRequestSchema, {
      partition,
      organisation: program.organisation,
      program: program.path,
      byOperator,
    });
    return this.#queryOwner<boolean>(partition, async (owner) => owner.endProgram(request));
  }

  async #queryOwner<Value>(
    partition: number,
    query: (owner: OwnerClient) => Promise<OwnerResponse<Value>>,
  ): Promise<Result<Value, Problem>> {
    const deadline = performance.now() + OWNER_WAIT_MILLISECONDS;
    while (performance.now() < deadline) {
      const result = await this.#queryOwnerOnce(partition, query);
      if (result) return result;
      await delay(RETRY_DELAY_MILLISECONDS);
      await this.#directory.refresh(partition);
    }
    return err({
      problem: 'owner-unreachable',
      executed: 'no',
      detail: "the program's owner gave no answer",
    });
  }

  async #queryOwnerOnce<Value>(
    partition: number,
    query: (owner: OwnerClient) => Promise<OwnerResponse<Value>>,
  ): Promise<Result<Value, Problem> | undefined> {
    const owner = this.#directory.getOwner(partition);
    if (!owner) return undefined;
    // Reading and ending are idempotent, so the request is retried when the owner is lost.
    const response = await query(owner).catch(() => undefined);
    if (!response) return undefined;
    switch (response.result.case) {
      case 'problem':
        return err(parseProblemMessage(response.result.value));
      case 'programJson':
      case 'ended':
        return ok(response.result.value);
      case 'notOwner':
      case undefined:
        return undefined;
      // no default
    }
  }
}

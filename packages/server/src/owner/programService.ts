import { create } from '@bufbuild/protobuf';
import type {
  EndProgramRequest,
  EndProgramResponse,
  ReadProgramRequest,
  ReadProgramResponse,
} from '@limpetnotch/peer-protocol';
import { EndProgramResponseSchema, ReadProgramResponseSchema } from '@limpetnotch/peer-protocol';
import type { ProgramIdentifier } from '@limpetnotch/programs';
import type { Scheduler } from '@limpetnotch/scheduling';
import { createProblemMessage } from './callEvents';
import type { OwnedPartition } from './ownedPartition';

/** Options of {@link ProgramService}. */
export interface ProgramServiceOptions {
  /** Returns the state of a partition that this instance owns, `undefined` for all others. */
  readonly getOwnedPartition: (partition: number) => OwnedPartition | undefined;
  readonly scheduler: Scheduler;
}

/** Reads and ends the programs of the partitions that this instance owns. */
export class ProgramService {
  readonly #options: ProgramServiceOptions;

  constructor(options: ProgramServiceOptions) {
    this.#options = options;
  }

  /** Returns a program with its history. */
  read(request: ReadProgramRequest): ReadProgramResponse {
    const owned = this.#options.getOwnedPartition(request.partition);
    if (!owned) {
      return create(ReadProgramResponseSchema, { result: { case: 'notOwner', value: {} } });
    }
    return owned.ledger.readProgram(ProgramService.#toIdentifier(request)).match(
      (program) =>
        create(ReadProgramResponseSchema, {
          result: { case: 'programJson', value: JSON.stringify(program) },
        }),
      (refusal) =>
        create(ReadProgramResponseSchema, {
          result: { case: 'problem', value: createProblemMessage(refusal) },
        }),
    );
  }

  /** Ends a program and its sub-agents. */
  async end(request: EndProgramRequest): Promise<EndProgramResponse> {
    const owned = this.#options.getOwnedPartition(request.partition);
    if (!owned) {
      return create(EndProgramResponseSchema, { result: { case: 'notOwner', value: {} } });
    }
    const reason = request.byOperator ? 'operator' : 'caller';
    const ended = await owned.ledger.endProgram(ProgramService.#toIdentifier(request), reason);
    if (ended.isOk() && !request.program.includes('/')) {
      const { organisation, program } = request;
      this.#options.scheduler.endProgram(organisation, `${organisation}/${program}`);
    }
    return ended.match(
      () => create(EndProgramResponseSchema, { result: { case: 'ended', value: true } }),
      (refusal) =>
        create(EndProgramResponseSchema, {
          result: { case: 'problem', value: createProblemMessage(refusal) },
        }),
    );
  }

  static #toIdentifier(request: ReadProgramRequest | EndProgramRequest): ProgramIdentifier {
    return { organisation: request.organisation, path: request.program };
  }
}

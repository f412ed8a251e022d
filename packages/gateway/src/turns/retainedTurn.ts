import { create } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';
import { readEventData } from '../calls/readEventData';
import type { TurnKeeping } from './turnKeeping';

const LINE_FEED = Buffer.from('\n');

/** Initial values of a {@link RetainedTurn}. */
export interface RetainedTurnParts {
  readonly keeping: Pick<TurnKeeping, 'keep'>;
  /** Earlier turns of the chain, oldest first. */
  readonly chain: readonly Turn[];
  readonly organisation: string;
  readonly id: string;
  readonly parentId: string;
  readonly program: string;
  readonly input: Buffer;
  readonly retentionMilliseconds: number;
}

/** A turn that is under way and will be retained: what targets receive for it, and its output. */
export class RetainedTurn {
  readonly #parts: RetainedTurnParts;

  readonly #output: Buffer[] = [];

  #dispatchBody: Buffer | undefined;

  constructor(parts: RetainedTurnParts) {
    this.#parts = parts;
  }

  /** The chain's inputs and outputs, and then the input of this turn. */
  get dispatchBody(): Buffer {
    // Built on first use, as rate or budget may refuse the call before it is dispatched.
    this.#dispatchBody ??= this.#joinChain();
    return this.#dispatchBody;
  }

  /** Records an event that was sent to the caller. */
  recordEvent(event: Buffer): void {
    const data = readEventData(event);
    if (data) this.#output.push(data, LINE_FEED);
  }

  /** Stores the turn once its response is complete; resolves to whether it is durable. */
  async keep(deadlineMilliseconds: number): Promise<boolean> {
    const { keeping, organisation, id, parentId, program, input, retentionMilliseconds } =
      this.#parts;
    const turn = create(TurnSchema, {
      organisation,
      id,
      parentId,
      program,
      expiresAtMilliseconds: Date.now() + retentionMilliseconds,
      input,
      output: Buffer.concat(this.#output),
    });
    return (await keeping.keep(turn, deadlineMilliseconds)).isOk();
  }

  #joinChain(): Buffer {
    const { chain, input } = this.#parts;
    return Buffer.concat([...chain.flatMap((turn) => [turn.input, turn.output]), input]);
  }
}

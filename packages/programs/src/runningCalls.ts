import type { ProgramIdentifier } from './programRecord';
import type { RunningCall } from './runningCall';
import { programKey } from './util/programKey';

/** Calls that run on this instance, at most one per program path. */
export class RunningCalls {
  readonly #byId = new Map<string, RunningCall>();

  readonly #byProgram = new Map<string, RunningCall>();

  get all(): readonly RunningCall[] {
    return [...this.#byId.values()];
  }

  find(callId: string): RunningCall | undefined {
    return this.#byId.get(callId);
  }

  /** Returns the call of a program that repeated requests may join. */
  findOfProgram(program: ProgramIdentifier): RunningCall | undefined {
    return this.#byProgram.get(programKey(program));
  }

  add(call: RunningCall): void {
    this.#byId.set(call.callId, call);
    this.#byProgram.set(programKey(call.request.program), call);
  }

  /** Prevents further requests from joining; the call can still be found by its identifier. */
  closeToJoiners(call: RunningCall): void {
    const key = programKey(call.request.program);
    if (this.#byProgram.get(key) === call) this.#byProgram.delete(key);
  }

  remove(callId: string): void {
    const call = this.#byId.get(callId);
    if (!call) return;
    this.#byId.delete(callId);
    this.closeToJoiners(call);
  }
}

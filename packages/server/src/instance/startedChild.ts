import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { Deferred } from '@limpetnotch/supervision';

/** A part that starts at once, runs by events and is stopped when its supervisor says so. */
export interface StartedPart {
  stop(): Promise<void>;
}

/** Wraps a part with a start and a stop as a child of a supervisor. */
export const startedChild = (
  name: string,
  start: () => Promise<StartedPart>,
): ChildSpecification => ({
  name,
  restart: 'always',
  run: async ({ signal, ready }: ChildContext) => {
    const part = await start();
    ready();
    const stopped = new Deferred();
    if (signal.aborted) stopped.resolve(undefined);
    signal.addEventListener('abort', () => stopped.resolve(undefined), { once: true });
    await stopped.promise;
    await part.stop();
  },
});

import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { SoakResult } from './soakResult';

/** Writes the evidence of a soak's violations: faults, affected requests and logs of processes. */
export const writeTraces = async (result: SoakResult, folder: string): Promise<void> => {
  const { seed, faults, violations, lifetimes, exchanges, getOutput } = result;
  const path = join(folder, `seed-${seed}`);
  await mkdir(path, { recursive: true });
  const requestIds = new Set(violations.map(({ requestId }) => requestId));
  const requests = exchanges.filter(({ record }) => requestIds.has(record.request.id));
  const trace = { seed, violations, faults, lifetimes, requests };
  await writeFile(join(path, 'trace.json'), JSON.stringify(trace, undefined, 1));
  const names = new Set(violations.map(({ lifetime }) => lifetime));
  // A violation without a process may be due to any of them.
  const violated = lifetimes.filter(({ name }) => names.has('') || names.has(name));
  await Promise.all(
    violated.map((lifetime) => writeFile(join(path, `${lifetime.name}.log`), getOutput(lifetime))),
  );
};

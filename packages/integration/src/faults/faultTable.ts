import type { CallFault } from './callFaults';
import { CALL_FAULTS } from './callFaults';
import type { CellResult } from './cellResult';
import type { CallKind, CallStep } from './faultCell';
import { CALL_KINDS, CALL_STEPS } from './faultCell';
import type { CellPlan } from './runCell';

/** Plans every cell: each fault at each step, for each kind of call. */
export const planCells = (): readonly CellPlan[] => {
  const cells = CALL_KINDS.flatMap((kind) =>
    CALL_FAULTS.flatMap((fault) => CALL_STEPS.map((step) => ({ kind, step, faults: [fault] }))),
  );
  return cells.map((cell, number) => ({ number, ...cell }));
};

const formatCell = (result: CellResult | undefined): string => {
  if (!result) return 'not run';
  const verdict =
    result.violations.length === 0 ? '' : `**BROKEN: ${result.violations.join('; ')}**, `;
  const runs = result.executions === undefined ? '' : `, ran ${result.executions}x`;
  const seconds = (result.milliseconds / 1_000).toFixed(1);
  return `${verdict}${result.final}${runs}, ${seconds} s`;
};

const findResult = (
  results: readonly CellResult[],
  kind: CallKind,
  step: CallStep,
  fault: CallFault,
): CellResult | undefined =>
  results.find(
    (result) =>
      result.kind === kind &&
      result.step === step &&
      result.faults.length === 1 &&
      result.faults[0] === fault,
  );

/** Formats the matrix of one kind of call as a Markdown table. */
export const formatMarkdownTable = (results: readonly CellResult[], kind: CallKind): string => {
  const head = `| fault | ${CALL_STEPS.join(' | ')} |`;
  const rule = `| --- |${CALL_STEPS.map(() => ' --- |').join('')}`;
  const rows = CALL_FAULTS.map((fault) => {
    const cells = CALL_STEPS.map((step) => formatCell(findResult(results, kind, step, fault)));
    return `| ${fault} | ${cells.join(' | ')} |`;
  });
  return [head, rule, ...rows].join('\n');
};

import { z } from 'zod';
import { formatTable } from './formatTable';

const UNKNOWN = '-';

const amountsSchema = z.looseObject({
  tokens: z.number().optional(),
  calls: z.number().optional(),
  spendMicros: z.number().optional(),
});

const historyEntrySchema = z.looseObject({
  sequence: z.number().optional(),
  route: z.string().optional(),
  outcome: z
    .looseObject({
      kind: z.string(),
      executed: z.string().optional(),
      problem: z.string().optional(),
      answer: z.looseObject({ status: z.number() }).optional(),
      usage: amountsSchema.optional(),
    })
    .optional(),
});

/** A program as returned by an entry; unknown fields are passed through. */
export const programSchema = z.looseObject({
  program: z.looseObject({ organisation: z.string(), path: z.string() }),
  startedAtMilliseconds: z.number(),
  end: z.looseObject({ reason: z.string() }).nullish(),
  history: z.array(historyEntrySchema),
  sequenceUnderWay: z.number().nullish(),
  limits: amountsSchema.optional(),
  spent: amountsSchema.optional(),
  left: amountsSchema.optional(),
});

export type ShownProgram = z.infer<typeof programSchema>;

type Amounts = z.infer<typeof amountsSchema> | undefined;

const formatAmountRow = (title: string, amounts: Amounts): string[] => [
  title,
  String(amounts?.tokens ?? UNKNOWN),
  String(amounts?.calls ?? UNKNOWN),
  String(amounts?.spendMicros ?? UNKNOWN),
];

const formatHistoryRow = (entry: ShownProgram['history'][number], index: number): string[] => [
  String(entry.sequence ?? index),
  entry.route ?? UNKNOWN,
  entry.outcome?.kind ?? UNKNOWN,
  String(entry.outcome?.answer?.status ?? entry.outcome?.problem ?? UNKNOWN),
  String(entry.outcome?.usage?.tokens ?? UNKNOWN),
];

/** Formats a program: its state, its budget and its calls. */
export const formatProgram = (program: ShownProgram): string[] => {
  const { organisation, path } = program.program;
  const state = program.end ? `ended (${program.end.reason})` : 'running';
  return [
    `program ${path} of ${organisation}: ${state}, started ${new Date(program.startedAtMilliseconds).toISOString()}`,
    '',
    ...formatTable(
      ['BUDGET', 'TOKENS', 'CALLS', 'SPEND MICROS'],
      [
        formatAmountRow('limits', program.limits),
        formatAmountRow('spent', program.spent),
        formatAmountRow('left', program.left),
      ],
    ),
    '',
    ...formatTable(
      ['CALL', 'ROUTE', 'OUTCOME', 'ANSWER', 'TOKENS'],
      program.history.map(formatHistoryRow),
    ),
  ];
};

import type { z } from 'zod';
import type { Fault } from './fault';

type Issue = z.core.$ZodIssue;
type FaultText = Pick<Fault, 'problem' | 'message' | 'cure'>;

const fieldOf = (issue: Issue): string => issue.path.map(String).join('.') || 'the document';

const ofType = (issue: z.core.$ZodIssueInvalidType, field: string): FaultText =>
  issue.input === undefined
    ? {
        problem: 'missing-field',
        message: `${field} is missing (${issue.expected})`,
        cure: `add ${field}`,
      }
    : {
        problem: 'invalid-value',
        message: `${field} is not of type ${issue.expected}`,
        cure: `write a value of type ${issue.expected}`,
      };

/** Turns an issue of a schema into the problem, the message and the cure of a fault. */
export const schemaFault = (issue: Issue): FaultText => {
  const field = fieldOf(issue);
  switch (issue.code) {
    case 'invalid_type':
      return ofType(issue, field);
    case 'too_small':
    case 'too_big':
      return {
        problem:
          issue.origin === 'number' || issue.origin === 'int'
            ? 'impossible-limit'
            : 'invalid-value',
        message: `${field}: ${issue.message}`,
        cure: `set ${field} within the range`,
      };
    case 'unrecognized_keys':
      return {
        problem: 'unknown-field',
        message: `${field} has unknown fields: ${issue.keys.join(', ')}`,
        cure: 'remove or rename them',
      };
    case 'invalid_format':
    case 'not_multiple_of':
    case 'invalid_union':
    case 'invalid_key':
    case 'invalid_element':
    case 'invalid_value':
    case 'custom':
      return {
        problem: 'invalid-value',
        message: `${field}: ${issue.message}`,
        cure: `write ${field} in the form that the message names`,
      };
  }
};

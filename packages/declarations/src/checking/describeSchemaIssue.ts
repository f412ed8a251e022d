import type { z } from 'zod';
import type { Fault } from './fault';

type Issue = z.core.$ZodIssue;
type FaultDetails = Pick<Fault, 'problem' | 'message' | 'cure'>;

const formatField = (issue: Issue): string => issue.path.map(String).join('.') || 'the document';

const describeTypeIssue = (issue: z.core.$ZodIssueInvalidType, field: string): FaultDetails =>
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

/** Converts an issue reported by zod into the details of a fault. */
export const describeSchemaIssue = (issue: Issue): FaultDetails => {
  const field = formatField(issue);
  switch (issue.code) {
    case 'invalid_type':
      return describeTypeIssue(issue, field);
    case 'too_small':
    case 'too_big':
      return {
        problem:
          issue.origin === 'number' || issue.origin === 'int'
            ? 'impossible-limit'
            : 'invalid-value',
        message: `${field}: ${issue.message}`,
        cure: `set ${field} to a value within the range`,
      };
    case 'unrecognized_keys':
      return {
        problem: 'unknown-field',
        message: `${field} has unknown fields: ${issue.keys.join(', ')}`,
        cure: 'remove or rename these fields',
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
        cure: `write ${field} in the format given by the message`,
      };
  }
};

import { createLogger } from '../src';

test('writes one JSON object per line at or above the minimum level', () => {
  const lines: string[] = [];
  const logger = createLogger({
    instance: 'entry-1',
    level: 'warn',
    write: (line) => lines.push(line),
  });
  logger.info('partition.claimed', { partition: 3 });
  logger.warn('partition.deposed', { partition: 3 });
  expect(lines).toHaveLength(1);
  expect(JSON.parse(lines[0] ?? '')).toEqual({
    time: expect.stringMatching(/^\d{4}-\d{2}-\d{2}T/) as string,
    level: 'warn',
    message: 'partition.deposed',
    instance: 'entry-1',
    partition: 3,
  });
});

import { resolve } from 'node:path';
import { PARTITION_COUNT } from '@limpetnotch/partitions';
import { Fleet } from './fleet/fleet';
import { ManagedProcess } from './fleet/managedProcess';
import { AgentCaller } from './quickstart/agentCaller';
import { formatTable } from './quickstart/formatTable';
import type { ProgramStep } from './quickstart/surveyProgram';
import { runSurvey } from './quickstart/surveyProgram';

const EXAMPLE = resolve(__dirname, '../../../examples/consortium');
const SECRET = 'example-key-al-nour-electrical';
const ENGINE_PORTS = [9101, 9102, 9103, 9104, 9105, 9106] as const;
const TOOL_PORTS = [9201, 9202] as const;
const INSTANCE_PORTS = [
  { entry: 8081, peer: 7081 },
  { entry: 8082, peer: 7082 },
  { entry: 8083, peer: 7083 },
  { entry: 8084, peer: 7084 },
] as const;

const cliScript = require.resolve('@limpetnotch/cli/bin/limpetnotch.js');

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const formatMilliseconds = (milliseconds: number | undefined): string =>
  milliseconds === undefined ? '-' : milliseconds.toFixed(0);

const publish = async (fleet: Fleet): Promise<void> => {
  const cli = new ManagedProcess({
    name: 'limpetnotch publish',
    script: cliScript,
    arguments: ['publish', EXAMPLE, '--store', fleet.storeAddress, '--author', 'quickstart'],
  });
  await cli.waitForExit();
  if (cli.exitCode !== 0) throw new Error(`publish failed:\n${cli.output}`);
};

const printReport = (steps: readonly ProgramStep[], elapsed: number, entries: number): void => {
  const tokens = steps.reduce((sum, step) => sum + step.promptTokens + step.outputTokens, 0);
  print('');
  print(
    formatTable([
      ['program', 'step', 'ms', 'first token ms', 'prompt', 'output'],
      ...steps.map((step) => [
        step.program,
        step.step,
        formatMilliseconds(step.milliseconds),
        formatMilliseconds(step.firstTokenMilliseconds),
        String(step.promptTokens),
        String(step.outputTokens),
      ]),
    ]),
  );
  print('');
  print(
    formatTable([
      ['program latency ms', 'calls', 'tokens', 'entries used', 'hops a call'],
      [
        formatMilliseconds(elapsed),
        String(steps.length),
        String(tokens),
        String(entries),
        'entry, owner, target',
      ],
    ]),
  );
};

const runProgram = async (fleet: Fleet): Promise<void> => {
  const caller = new AgentCaller({
    entries: fleet.entryAddresses,
    secret: SECRET,
    model: 'survey',
  });
  const steps: ProgramStep[] = [];
  const startedAt = performance.now();
  await runSurvey({
    caller,
    program: `survey-${Date.now()}`,
    onStep: (step) => {
      steps.push(step);
      print(`  ${step.program}: ${step.step} (${formatMilliseconds(step.milliseconds)} ms)`);
    },
  });
  printReport(steps, performance.now() - startedAt, fleet.entryAddresses.length);
};

const main = async (): Promise<void> => {
  const fleet = new Fleet({
    storePort: 9379,
    instances: INSTANCE_PORTS,
    enginePorts: ENGINE_PORTS,
    engineSettings: { models: ['estimate', 'survey'] },
    toolPorts: TOOL_PORTS,
    operatorToken: 'quickstart-operator-token',
    instanceArguments: ['--drain-seconds', '0.5'],
  });
  try {
    print('starting the store, six engines and two tool services');
    await fleet.startStandIns();
    print('starting four instances in three availability zones');
    fleet.startInstances();
    print('publishing examples/consortium');
    await publish(fleet);
    await fleet.waitUntilReady(PARTITION_COUNT);
    print('running a program of several turns with a sub-agent');
    await runProgram(fleet);
    print('');
    print('shutting down gracefully');
    const codes = await fleet.stopInstances();
    if (codes.some((code) => code !== 0)) throw new Error(`exit codes ${codes.join(', ')}`);
    print('done');
  } finally {
    await fleet.kill();
  }
};

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
});

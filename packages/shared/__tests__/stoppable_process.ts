import process from 'node:process';
import {createInterface} from 'node:readline';
import {z} from 'zod';
import {LogFormat, LogLevel, runBinary, succeed} from '../src/index.js';

const schema = z.object({
  id: z.string(),
  logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
  logFormat: z.nativeEnum(LogFormat).default(LogFormat.Json),
});

const commands = createInterface({input: process.stdin})[
  Symbol.asyncIterator
]();

/** Prints the name of a step, and ends it at a line of standard input. */
async function takeStep(name: string): Promise<void> {
  process.stdout.write(`${name}\n`);
  await commands.next();
}

runBinary({
  name: 'stoppable',
  description: 'Starts and stops step by step',
  defaultConfig: 'settings.yaml',
  schema,
  start: async () => {
    await takeStep('step start');
    return succeed({
      stop: () => takeStep('step stop'),
      reconfigure: () => process.stdout.write('step reconfigure\n'),
    });
  },
});

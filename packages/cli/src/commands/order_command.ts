import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {OrderSender, type LoadOrder} from '../order_sender.js';
import {reportError} from '../report_error.js';

/** Orders an engine to load a model. */
export async function orderCommand(
  {session}: CommandContext,
  order: LoadOrder,
): Promise<ExitCode> {
  const sent = await new OrderSender(session).send(order);
  if (!sent.ok) return reportError(sent.error);
  process.stdout.write(
    `${order.backendId} loads ${order.model} (fencing number ${sent.value}).\n`,
  );
  return ExitCode.Ok;
}

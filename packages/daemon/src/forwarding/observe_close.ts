import type { Socket } from "node:net";
import type { TimerService } from "@coltsfootford/core";

/**
 * Time after a server error in which the loss of its connection may show that
 * the target crashes because of the request.
 */
const CRASH_AFTER_FAILURE_MS = 1_000;

/** Calls `onClose` if the connection closes shortly after a server error. */
export function observeClose(
  socket: Socket | null,
  timer: TimerService,
  onClose: () => void,
): void {
  if (!socket) return;
  const handleClose = () => {
    cancelTimer();
    onClose();
  };
  const cancelTimer = timer.after(
    CRASH_AFTER_FAILURE_MS,
    () => socket.off("close", handleClose),
  );
  socket.once("close", handleClose);
}

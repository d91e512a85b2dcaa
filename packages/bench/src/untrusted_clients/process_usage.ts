import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const BYTES_PER_KB = 1_024;
const SAMPLE_INTERVAL_MS = 20;
const SOCKET_LINK = /^socket:\[(\d+)\]$/;
/** Columns of `/proc/net/tcp`: the queues, and the inode of the socket. */
const QUEUES_COLUMN = 4;
const INODE_COLUMN = 9;

/** What a process of this machine uses. */
export interface ProcessUsage {
  readonly residentBytes: number;
  /** Resident memory, and what its sockets have received and it has not read. */
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** Reads what a running process uses. */
export function readUsage(pid: number): ProcessUsage {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, residentKb = "0"] = /^VmRSS:\s+(\d+) kB$/m.exec(status) ?? [];
  const residentBytes = Number(residentKb) * BYTES_PER_KB;
  const descriptors = readdirSync(`/proc/${pid}/fd`);
  return {
    residentBytes,
    memoryBytes: residentBytes + countUnreadBytes(pid, descriptors),
    descriptors: descriptors.length,
  };
}

/** The bytes that the kernel holds for the process to read from its sockets. */
function countUnreadBytes(pid: number, descriptors: readonly string[]): number {
  const unreadBytes = readUnreadBytes(pid);
  let sumBytes = 0;
  for (const descriptor of descriptors) {
    const inode = readSocketInode(pid, descriptor);
    if (inode !== undefined) sumBytes += unreadBytes.get(inode) ?? 0;
  }
  return sumBytes;
}

/** The inode of a socket; undefined for other files and closed descriptors. */
function readSocketInode(pid: number, descriptor: string): string | undefined {
  try {
    return SOCKET_LINK.exec(readlinkSync(`/proc/${pid}/fd/${descriptor}`))?.[1];
  } catch {
    return undefined;
  }
}

/** The unread bytes of all TCP sockets that have any, by their inodes. */
function readUnreadBytes(pid: number): Map<string, number> {
  const unreadBytes = new Map<string, number>();
  const table = readFileSync(`/proc/${pid}/net/tcp`, "utf8");
  for (const line of table.split("\n").slice(1)) {
    const columns = line.trim().split(/\s+/);
    const received = columns[QUEUES_COLUMN]?.split(":")[1] ?? "0";
    const bytes = parseInt(received, 16);
    if (bytes > 0) unreadBytes.set(columns[INODE_COLUMN]!, bytes);
  }
  return unreadBytes;
}

/** Samples what a process uses, and keeps the highest values. */
export class UsageSampler {
  readonly #pid: number;
  readonly #interval: NodeJS.Timeout;
  #peak: ProcessUsage = { residentBytes: 0, memoryBytes: 0, descriptors: 0 };

  constructor(pid: number) {
    this.#pid = pid;
    this.#interval = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /** Ends the samples and returns the highest values. */
  stop(): ProcessUsage {
    clearInterval(this.#interval);
    return this.#peak;
  }

  #sample(): void {
    try {
      const usage = readUsage(this.#pid);
      const { residentBytes, memoryBytes, descriptors } = this.#peak;
      this.#peak = {
        residentBytes: Math.max(residentBytes, usage.residentBytes),
        memoryBytes: Math.max(memoryBytes, usage.memoryBytes),
        descriptors: Math.max(descriptors, usage.descriptors),
      };
    } catch {
      // The process has ended, which its own check reports.
    }
  }
}

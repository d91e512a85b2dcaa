import type {
  AssignableTarget,
  FleetList,
  Membership,
  TargetOwner,
} from "@coltsfootford/core";
import type { Vm } from "@coltsfootford/key-value";
import type { DaemonView, TargetView } from "../blackboard/index.ts";

/** A daemon that is listed in the settings. */
export interface SeedPeer {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly peerPort: number;
}

/** Converts the VM list to the input of the membership. */
export function toFleetList(vms: readonly Vm[]): FleetList {
  return {
    daemons: vms.filter((vm) => vm.role === "daemon").map((vm) => ({
      vm: vm.name,
      availabilityZone: vm.availabilityZone,
      state: vm.state,
    })),
    targets: vms.filter((vm) => vm.role === "target").map((vm) => ({
      name: vm.name,
      availabilityZone: vm.availabilityZone,
      state: vm.state,
    })),
  };
}

/** The targets of the VM list as input for assigning owners and probers. */
export function toAssignableTargets(vms: readonly Vm[]): AssignableTarget[] {
  return vms.filter((vm) => vm.role === "target").map((vm) => ({
    name: vm.name,
    availabilityZone: vm.availabilityZone,
    pool: vm.pool ?? "",
  }));
}

/** The targets of the VM list, each in the state reported by its prober. */
export function createTargetViews(
  vms: readonly Vm[],
  membership: Membership,
  probers: ReadonlyMap<string, TargetOwner>,
): Map<string, TargetView> {
  const views = new Map<string, TargetView>();
  for (const vm of vms) {
    if (vm.role !== "target") continue;
    const { name, availabilityZone, host, port } = vm;
    const state = membership.targetState(name, probers.get(name)?.vm);
    const pool = vm.pool ?? "";
    views.set(name, { name, availabilityZone, pool, host, port, state });
  }
  return views;
}

/** The daemons of the VM list, or of the settings until the list is read. */
export function createDaemonViews(
  vms: readonly Vm[] | undefined,
  seeds: readonly SeedPeer[],
  membership: Membership,
): Map<string, DaemonView> {
  const views = new Map<string, DaemonView>();
  const listed = vms?.filter((vm) => vm.role === "daemon").map((vm) => ({
    vm: vm.name,
    availabilityZone: vm.availabilityZone,
    host: vm.host,
    peerPort: vm.peerPort ?? 0,
  }));
  for (const daemon of listed ?? seeds) {
    const member = membership.get(daemon.vm);
    // A daemon that never announced itself, or whose zone is unreachable, may
    // be alive.
    const isReachable = member !== undefined && member.isReachable;
    const state = member?.state === "dead" || isReachable
      ? member.state
      : "suspect";
    views.set(daemon.vm, { ...daemon, state });
  }
  return views;
}

"""Writes the two examples' manifests, fleets and settings; run by hand."""

import json
import pathlib

HERE = pathlib.Path(__file__).parent

PAMPA = {
    "name": "pampa-lance",
    "zones": ["sur-a", "sur-b", "sur-c", "sur-d"],
    "prefix": "lance-vm",
    "shape": {"cores": 64, "memory_gb": 256},
    "entries": 9,
    "base_port": 7000,
    "weights": {"moves": 5.0, "buffer": 1.0, "roll_out": 1.0},
    "services": {
        "live-bidding": ("ring", [("confirm-bid", "urgent", False, 3800),
                                  ("show-lot", "urgent", True, 3800)]),
        "ring-scale": ("ring", [("record-weight", "urgent", False, 3800),
                                ("class-animal", "normal", True, 5000)]),
        "buyer-app": ("buyers", [("sell", "urgent", False, 3800),
                                 ("browse", "normal", True, 5000)]),
        "catalogue": ("catalogue", [("value-lot", "normal", True, 10000),
                                    ("rebuild", "bulk", True, 60000)]),
        "clerk-tools": ("clerks", [("invoice", "normal", False, 10000),
                                   ("reconcile", "bulk", True, 60000)]),
    },
    "tasks": [
        ("herd-records", "clerk-tools", "bulk", 8, 32, 600, 4),
        ("reconciliation", "catalogue", "bulk", 8, 32, 900, 4),
        ("ring-video-index", "live-bidding", "normal", 4, 16, 120, 2),
    ],
}
LELTAR = {
    "name": "leltar-pont",
    "zones": ["kozep-1", "kozep-2", "kozep-3", "kozep-4"],
    "prefix": "leltar-vm",
    "shape": {"cores": 32, "memory_gb": 64},
    "entries": 8,
    "base_port": 8000,
    "weights": {"moves": 1.0, "buffer": 5.0, "roll_out": 3.0},
    "services": {
        "check-in": ("inspections", [("sign-report", "urgent", False, 3800),
                                     ("upload-photo", "normal", True, 10000)]),
        "check-out": ("inspections", [("sign-report", "urgent", False, 3800),
                                      ("upload-photo", "normal", True, 10000)]),
        "mid-tenancy": ("inspections", [("sign-report", "urgent", False, 3800),
                                        ("add-note", "normal", True, 5000)]),
        "disputes": ("disputes", [("assemble-evidence", "urgent", True, 3800),
                                  ("search", "normal", True, 5000)]),
        "billing": ("office", [("charge", "normal", False, 10000),
                               ("export", "bulk", True, 60000)]),
    },
    "tasks": [
        ("nightly-archive", "billing", "bulk", 4, 8, 1200, 4),
        ("photo-resize", "check-in", "bulk", 2, 4, 60, 6),
    ],
}
WORKERS = 8
SPARES_PER_ZONE = 1


def build_manifest(example: dict) -> dict:
    """Build the manifest of one example."""
    zones = example["zones"]
    pools, services, teams = [], [], {}
    for name, (team, jobs) in example["services"].items():
        pools.append({"name": name, "zones": {z: WORKERS // len(zones) for z in zones},
                      "max_out": 2, "slots": 8, "shape": example["shape"]})
        services.append({"name": name, "pool": name, "jobs": [
            {"name": job, "priority": priority, "idempotent": idempotent,
             "deadline_ms": deadline, "team": team}
            for job, priority, idempotent, deadline in jobs]})
        teams.setdefault(team, {"name": team, "quotas": {}, "cores": 256})
        teams[team]["quotas"][name] = 64
    tasks = [{"name": n, "pool": p, "priority": r, "cores": c, "memory_gb": m,
              "run_time_s": s, "count": k} for n, p, r, c, m, s, k in example["tasks"]]
    return {"format": 1, "deployment": example["name"], "zones": zones,
            "maintenance_days": 35, "weights": example["weights"], "pools": pools,
            "services": services, "teams": list(teams.values()), "tasks": tasks}


def build_fleet(example: dict) -> list[dict]:
    """Build the VMs: five services of eight workers, and spares."""
    zones = example["zones"]
    count = WORKERS * len(example["services"]) + SPARES_PER_ZONE * len(zones)
    vms = []
    for index in range(count):
        zone = zones[index % len(zones)]
        rack = index // len(zones) // 4
        vms.append({"name": f"{example['prefix']}-{index + 1:03d}", "status": "live",
                    "zone": zone, "rack": f"{zone}-r{rack + 1}",
                    "address": f"127.0.0.1:{example['base_port'] + 101 + index}",
                    "boots": 1, "accelerators": 0, **example["shape"]})
    return vms


def build_settings(example: dict, role: str, number: int) -> dict:
    """Build the settings of one process."""
    base = example["base_port"] + (200 if role == "entry" else 400) + number
    return {"member": f"{role}-{number}",
            "zone": example["zones"][number % len(example["zones"])],
            "platform": {"host": "127.0.0.1", "port": example["base_port"]},
            "http": {"host": "127.0.0.1", "port": base},
            "peer": {"host": "127.0.0.1", "port": base + 100}}


def write(path: pathlib.Path, value: object) -> None:
    """Write one JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1) + "\n")


for example in (PAMPA, LELTAR):
    folder = HERE / example["name"]
    write(folder / "manifest.json", build_manifest(example))
    write(folder / "fleet.json", build_fleet(example))
    for role in ("entry", "control"):
        for number in range(1, example["entries"] + 1):
            settings = build_settings(example, role, number)
            write(folder / "settings" / f"{role}-{number}.json", settings)

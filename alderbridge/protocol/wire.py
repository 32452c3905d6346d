"""Re-exports jobs.py, workers.py, cloud.py and store.py for existing imports; new code imports from those modules."""

from __future__ import annotations

from alderbridge.protocol.cloud import (
    ListedMachine,
    MachineListing,
    MachineType,
    MachineTypes,
    RentalResponse,
    rental_request,
)
from alderbridge.protocol.encoding import Amount, MalformedBodyError, Name, Positive, encode
from alderbridge.protocol.jobs import (
    JOB_ID,
    PRIORITIES,
    JobSpec,
    accepted_body,
    error_body,
    job_id_in,
    job_status_body,
    parse_job,
)
from alderbridge.protocol.store import (
    KeyValue,
    KeyValuePage,
    LeaseGranted,
    MachineRecord,
    TransactionResult,
    WatchEvent,
    WatchResponse,
)
from alderbridge.protocol.workers import (
    Heartbeat,
    ReportedTask,
    acknowledge_order,
    acknowledge_request,
    heartbeat_response,
    parse_heartbeat,
    run_order,
    split_task_id,
    stop_order,
)

__all__ = [
    "JOB_ID",
    "PRIORITIES",
    "Amount",
    "Heartbeat",
    "JobSpec",
    "KeyValue",
    "KeyValuePage",
    "LeaseGranted",
    "ListedMachine",
    "MachineListing",
    "MachineRecord",
    "MachineType",
    "MachineTypes",
    "MalformedBodyError",
    "Name",
    "Positive",
    "RentalResponse",
    "ReportedTask",
    "TransactionResult",
    "WatchEvent",
    "WatchResponse",
    "accepted_body",
    "acknowledge_order",
    "acknowledge_request",
    "encode",
    "error_body",
    "heartbeat_response",
    "job_id_in",
    "job_status_body",
    "parse_heartbeat",
    "parse_job",
    "rental_request",
    "run_order",
    "split_task_id",
    "stop_order",
]
